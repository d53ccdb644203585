// Package upstream sends requests to endpoints over HTTP/1.1 connections of its own. Go's transport takes whatever comes
// next on a connection for the answer to its request, and sends some requests again by itself; here an answer that
// belongs to another request is passed over, and nothing is ever sent twice.
package upstream
