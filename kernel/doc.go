// Package kernel starts and stops a program's components and lets its services find each other by name.
package kernel
