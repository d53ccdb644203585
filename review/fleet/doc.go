// Package fleet starts a small deployment of the users' platform on loopback addresses: nodes as processes of their own,
// with the commands and the settings of deploy/, and stand-ins for the platform's store, the targets and the clients. It
// serves the cases of the review only.
package fleet
