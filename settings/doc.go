// Package settings reads a program's YAML file, checks it whole and names every fault with its line and field.
package settings
