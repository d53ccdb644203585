package settings

import "time"

// Ctl is the settings of the operators' tool.
type Ctl struct {
	// Author is written with each change.
	Author string `yaml:"author" validate:"required"`
	// Platform says where the table is.
	Platform CtlPlatform `yaml:"platform"`
	// Nodes are the operators' listeners that status and explain ask.
	Nodes []Address `yaml:"nodes"`
	// Token is the operators' token of the nodes.
	Token Secret `yaml:"token"`
}

// CtlPlatform says where the table is.
type CtlPlatform struct {
	// Address is the IP and port.
	Address Address `yaml:"address" validate:"required"`
	// Token is sent with every call.
	Token Secret `yaml:"token"`
	// Timeout bounds a call.
	Timeout Duration `yaml:"timeout" validate:"min=1"`
	// Patience bounds a change, its retries included.
	Patience Duration `yaml:"patience" validate:"min=1"`
}

// DefaultCtl returns the settings of a tool whose file says nothing.
func DefaultCtl() Ctl {
	return Ctl{Platform: CtlPlatform{Timeout: Duration(2 * time.Second), Patience: Duration(10 * time.Second)}}
}
