// Package network is an in-memory network for tests in virtual time (testing/synctest). Its connections deliver after a delay
// and hold a writer up whose peer does not read; they can be reset, go silent, and be closed by the end of a process.
package network
