// Package testseed runs the tests of a package with a fixed seed of the property tests, so that every run draws the same. Tests
// alone use it.
package testseed
