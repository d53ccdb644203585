// Package trace finds out from the nodes' logs what became of one request: it joins the lines of all nodes, puts them in
// the order of their times, adds what the nodes involved believed meanwhile, and says in a paragraph what decided the
// request's end. It reads text and writes text and knows nothing else of the fleet:
// Log takes the lines (line.go), Story joins them (story.go), Explain and Print tell them.
package trace
