// Package kernel starts and stops a program's components, and lets its services look each other up by name.
package kernel
