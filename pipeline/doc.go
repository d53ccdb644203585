// Package pipeline serves HTTP/1.1 connections of callers. Unlike the standard library's server, and so go-zero's rest,
// it reads a connection's next requests while earlier ones are answered: repeatable ones run side by side and their
// answers go out in order. It reads a request whole before it is handled, sees a caller leave while its request is under
// way, and tells on a planned stop which answer is a connection's last.
package pipeline
