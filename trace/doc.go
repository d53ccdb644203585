// Package trace reconstructs from the nodes' logs how one request was handled. It joins the lines of all nodes, sorts them
// by time, adds the changes of the involved nodes' local views in that period (links, phases, breakers, configuration), and
// explains in a paragraph what decided the request's outcome. It only reads and writes text and needs no access to the fleet:
// Log reads the lines (line.go), Story joins them (story.go), Explain and Print write the result.
//
// Losses (losses.go) and Sends (sends.go) report over all requests in the logs: lost requests by cause, and first sends and
// retries of each service.
package trace
