// Package coldstart keeps an endpoint that is cold, or may be, to what it bears, whatever those who send to it believe. It stands at
// the one door through which all of the endpoint's work goes.
package coldstart
