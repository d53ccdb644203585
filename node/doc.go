// Package node assembles a node from its settings: it creates the components, registers them with the kernel, and starts,
// reloads and stops the node.
package node
