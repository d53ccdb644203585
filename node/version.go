package node

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
)

// buildVersion returns the revision from which this program was built, with "+modified" if its source had changes that were not
// committed, or the module's version if the build did not record a revision.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+modified"
		}
	}
	if revision == "" {
		return info.Main.Version
	}
	return revision + modified
}

const (
	buildIDSection = ".note.go.buildid"
	// noteHeader is the size of an ELF note's header with the name "Go", in bytes.
	noteHeader = 16
)

// buildID returns the part of the Go build ID that identifies the program's content, as "go tool buildid" prints it last; "" if the
// program cannot be read. It tells builds apart that recorded no revision.
func buildID() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	section := f.Section(buildIDSection)
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil || len(note) < noteHeader {
		return ""
	}
	id := string(bytes.TrimRight(note[noteHeader:], "\x00"))
	return id[strings.LastIndexByte(id, '/')+1:]
}
