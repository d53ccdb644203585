// Package pipeline serves HTTP/1.1 connections of callers. Unlike the standard library's server, and so go-zero's rest,
// it handles pipelined requests concurrently: it reads a connection's next requests while earlier ones are handled. Safe
// requests run at the same time, and their answers are written in the order of the requests. The server reads a request,
// including its body, before it calls the handler, cancels the request when its caller closes the connection, and on a
// planned stop marks the last answer of each connection with "Connection: close".
package pipeline
