// Package httpclient sets, once a process, how the HTTP calls of go-zero's httpc are made.
package httpclient
