package messenger

import (
	"encoding/binary"
	"net/netip"
)

// A connection carries records: a length of four bytes, a kind, and the
// content. In the handshake the accepting side sends a greeting with its nonce.
// The dialing side answers with a hello, which holds its nonce and identity, and
// the accepting side with a welcome, which holds its identity. Hello and welcome
// are each signed over both nonces. After that each direction has its own key,
// derived from both nonces and identities, and numbers its frames.
const (
	recordGreeting = 1
	recordHello    = 2
	recordWelcome  = 3
	recordFrame    = 4
)

const (
	recordHeaderSize = 4 + 1
	frameOverhead    = 8 + macSize
	// maxHandshakeSize limits the memory that an unauthenticated peer can occupy.
	maxHandshakeSize = 700 // bytes
	// maxFrameSize limits one call or answer.
	maxFrameSize = 4 << 20 // bytes
)

var (
	helloLabel      = []byte("hyssoprudder hello")
	welcomeLabel    = []byte("hyssoprudder welcome")
	toAcceptorLabel = []byte("hyssoprudder dialed to accepted")
	toDialerLabel   = []byte("hyssoprudder accepted to dialed")
)

// session is the state of one side of a connection. It handles the handshake,
// and then signs (seals) and verifies (opens) frames. It is not safe for
// concurrent use, except that one goroutine may seal while another opens once
// the session is established.
type session struct {
	keys         keyring
	self         Sender
	peer         Sender
	target       netip.AddrPort // address dialed; set on the dialing side
	dialed       bool
	established  bool
	greeted      bool
	ownNonce     []byte
	peerNonce    []byte
	key          []byte
	sealSigner   *signer
	openSigner   *signer
	sealedFrames uint64
	openedFrames uint64
}

// newAccepted returns the session of the accepting side.
func newAccepted(keys keyring, self Sender, nonce []byte) *session {
	return &session{keys: keys, self: self, ownNonce: nonce}
}

// newDialed returns the session of the dialing side.
func newDialed(keys keyring, self Sender, target netip.AddrPort, nonce []byte) *session {
	return &session{keys: keys, self: self, target: target, dialed: true, ownNonce: nonce}
}

// greeting returns the first record of the accepting side.
func (s *session) greeting() []byte {
	return record(recordGreeting, s.ownNonce)
}

func record(kind byte, parts ...[]byte) []byte {
	size := 1
	for _, p := range parts {
		size += len(p)
	}
	b := make([]byte, 4, 4+size)
	binary.BigEndian.PutUint32(b, uint32(size))
	b = append(b, kind)
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// recordSize returns the size of a record without its length, which is given as
// header. The error is a dropError.
func (s *session) recordSize(header []byte) (int, error) {
	size := int(binary.BigEndian.Uint32(header))
	limit := maxHandshakeSize
	if s.established {
		limit = 1 + frameOverhead + maxFrameSize
	}
	if size < 1 {
		return 0, dropMalformed
	}
	if size > limit {
		return 0, dropOversized
	}
	return size, nil
}

// accept processes one record, given without its length. It returns a record to
// send during the handshake, or the content of a frame. The error is a dropError,
// after which the connection must be closed.
func (s *session) accept(b []byte) (reply, content []byte, err error) {
	if len(b) == 0 {
		return nil, nil, dropMalformed
	}
	kind, b := b[0], b[1:]
	switch {
	case kind == recordFrame && s.established:
		content, err = s.open(b)
		return nil, content, err
	case kind == recordGreeting && s.dialed && !s.greeted:
		reply, err = s.acceptGreeting(b)
	case kind == recordHello && !s.dialed && !s.established:
		reply, err = s.acceptHello(b)
	case kind == recordWelcome && s.dialed && s.greeted && !s.established:
		err = s.acceptWelcome(b)
	default:
		err = dropUnexpected
	}
	return reply, nil, err
}

func (s *session) acceptGreeting(b []byte) ([]byte, error) {
	if len(b) != nonceSize {
		return nil, dropMalformed
	}
	s.greeted = true
	s.peerNonce = append([]byte(nil), b...)
	message := appendSender(append([]byte(nil), s.ownNonce...), s.self)
	s.key = s.keys[0]
	code := newSigner(s.key).sign(helloLabel, addressBytes(s.target), s.peerNonce, message)
	return record(recordHello, message, code), nil
}

func (s *session) acceptHello(b []byte) ([]byte, error) {
	if len(b) < nonceSize+macSize {
		return nil, dropMalformed
	}
	message, code := b[:len(b)-macSize], b[len(b)-macSize:]
	key, ok := s.keys.find(code, helloLabel, addressBytes(s.self.address), s.ownNonce, message)
	if !ok {
		return nil, dropUnauthenticated
	}
	peer, rest, err := readSender(message[nonceSize:])
	if err != nil || len(rest) != 0 {
		return nil, dropMalformed
	}
	s.key, s.peer = key, peer
	s.peerNonce = append([]byte(nil), message[:nonceSize]...)
	identity := appendSender(nil, s.self)
	s.establish()
	return record(recordWelcome, identity, newSigner(key).sign(welcomeLabel, s.peerNonce, s.ownNonce, identity)), nil
}

func (s *session) acceptWelcome(b []byte) error {
	if len(b) < macSize {
		return dropMalformed
	}
	message, code := b[:len(b)-macSize], b[len(b)-macSize:]
	if !newSigner(s.key).verify(code, welcomeLabel, s.ownNonce, s.peerNonce, message) {
		return dropUnauthenticated
	}
	peer, rest, err := readSender(message)
	if err != nil || len(rest) != 0 {
		return dropMalformed
	}
	s.peer = peer
	s.establish()
	return nil
}

// establish derives the keys of both directions.
func (s *session) establish() {
	s.established = true
	dialer, acceptor := s.self, s.peer
	dialerNonce, acceptorNonce := s.ownNonce, s.peerNonce
	if !s.dialed {
		dialer, acceptor = acceptor, dialer
		dialerNonce, acceptorNonce = acceptorNonce, dialerNonce
	}
	identities := appendSender(appendSender(nil, dialer), acceptor)
	toAcceptor := newSigner(derive(s.key, toAcceptorLabel, dialerNonce, acceptorNonce, identities))
	toDialer := newSigner(derive(s.key, toDialerLabel, dialerNonce, acceptorNonce, identities))
	if s.dialed {
		s.sealSigner, s.openSigner = toAcceptor, toDialer
	} else {
		s.sealSigner, s.openSigner = toDialer, toAcceptor
	}
}

// seal returns the record of the next frame, signed, with the given content.
func (s *session) seal(content []byte) []byte {
	s.sealedFrames++
	b := make([]byte, recordHeaderSize+8, recordHeaderSize+frameOverhead+len(content))
	binary.BigEndian.PutUint32(b, uint32(1+frameOverhead+len(content)))
	b[4] = recordFrame
	binary.BigEndian.PutUint64(b[recordHeaderSize:], s.sealedFrames)
	b = append(b, content...)
	return append(b, s.sealSigner.sign(b[recordHeaderSize:])...)
}

// open verifies a frame and returns its content, which shares memory with b.
func (s *session) open(b []byte) ([]byte, error) {
	if len(b) < frameOverhead {
		return nil, dropMalformed
	}
	message, code := b[:len(b)-macSize], b[len(b)-macSize:]
	if !s.openSigner.verify(code, message) {
		return nil, dropUnauthenticated
	}
	if binary.BigEndian.Uint64(message) != s.openedFrames+1 {
		return nil, dropReplayed
	}
	s.openedFrames++
	return message[8:], nil
}
