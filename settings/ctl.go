package settings

import "time"

// Ctl holds the settings of the operators' command-line tool.
type Ctl struct {
	// Author is stored with each change as the person who made it.
	Author string `yaml:"author" validate:"required"`
	// Platform is the store that holds the table.
	Platform CtlPlatform `yaml:"platform"`
	// Nodes are the addresses of the nodes' operators' listeners that the status and explain commands query.
	Nodes []Address `yaml:"nodes"`
	// Token authenticates the tool to the nodes' operators' listeners.
	Token Secret `yaml:"token"`
}

// CtlPlatform is how the tool reaches the store that holds the table.
type CtlPlatform struct {
	// Address is the store's IP and port.
	Address Address `yaml:"address" validate:"required"`
	// Token is sent with every call.
	Token Secret `yaml:"token"`
	// Timeout limits each call.
	Timeout Duration `yaml:"timeout" validate:"min=1"`
	// Patience limits a whole change, including its retries.
	Patience Duration `yaml:"patience" validate:"min=1"`
}

// DefaultCtl returns the default settings of the tool.
func DefaultCtl() Ctl {
	return Ctl{Platform: CtlPlatform{Timeout: Duration(2 * time.Second), Patience: Duration(10 * time.Second)}}
}
