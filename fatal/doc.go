// Package fatal knows requests by their content, whatever id they come with, and the endpoints that ended while they ran them.
package fatal
