// Package routes judges by requests whether the configurations of the platform's operators are in force in time: a fleet of real
// processes with the deployed settings, operators that move, add and drop routes, and callers that ask every node for them.
package routes
