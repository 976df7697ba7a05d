package settings

// value holds a value of any type, so that a wrong type does not stop decoding and
// is reported together with all other faults.
type value struct {
	raw any
	set bool
}

// UnmarshalTOML stores the value as the TOML library decoded it.
func (v *value) UnmarshalTOML(raw any) error {
	v.raw = raw
	v.set = true
	return nil
}

// file is the TOML layout of a settings file.
type file struct {
	ID       value        `toml:"id"`
	Firm     value        `toml:"firm"`
	Region   value        `toml:"region"`
	Domain   value        `toml:"domain"`
	Domains  value        `toml:"domains"`
	Cell     value        `toml:"cell"`
	Roles    value        `toml:"roles"`
	Data     value        `toml:"data"`
	Key      value        `toml:"key"`
	Token    value        `toml:"token"`
	Seeds    value        `toml:"seeds"`
	Platform value        `toml:"platform"`
	Drill    value        `toml:"drill"`
	Listen   fileListen   `toml:"listen"`
	TLS      fileTLS      `toml:"tls"`
	Log      fileLog      `toml:"log"`
	Limits   fileLimits   `toml:"limits"`
	Keepers  []fileKeeper `toml:"keepers"`
}

type fileListen struct {
	Callers   value `toml:"callers"`
	Nodes     value `toml:"nodes"`
	Operators value `toml:"operators"`
}

type fileTLS struct {
	Cert value `toml:"cert"`
	Key  value `toml:"key"`
}

type fileLog struct {
	Level value `toml:"level"`
}

type fileLimits struct {
	Body      value `toml:"body"`
	Header    value `toml:"header"`
	Buffer    value `toml:"buffer"`
	Idle      value `toml:"idle"`
	Read      value `toml:"read"`
	Stop      value `toml:"stop"`
	Lame      value `toml:"lame"`
	Freshness value `toml:"freshness"`
	Poll      value `toml:"poll"`
	Streams   value `toml:"streams"`
}

type fileKeeper struct {
	ID      value `toml:"id"`
	Address value `toml:"address"`
}
