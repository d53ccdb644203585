// Command drive plays the scene of the case.
package main

import "github.com/lynxplank/lynxplank/review/scene"

func main() { scene.Main(scene.Birth) }
