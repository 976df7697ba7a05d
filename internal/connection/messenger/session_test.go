package messenger

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	senderA = NewSender("a", 1, netip.MustParseAddrPort("127.0.0.1:7001"))
	senderB = NewSender("b", 1, netip.MustParseAddrPort("127.0.0.1:7002"))
	nonceA  = bytes.Repeat([]byte{1}, nonceSize)
	nonceB  = bytes.Repeat([]byte{2}, nonceSize)
)

// establishPair runs the handshake between a, which dials, and b.
func establishPair(t require.TestingT) (a, b *session, records [][]byte) {
	a = newDialed(keyring{testKey}, senderA, senderB.address, nonceA)
	b = newAccepted(keyring{testKey}, senderB, nonceB)
	greeting := b.greeting()
	hello, _, err := a.accept(greeting[4:])
	require.NoError(t, err)
	welcome, _, err := b.accept(hello[4:])
	require.NoError(t, err)
	_, _, err = a.accept(welcome[4:])
	require.NoError(t, err)
	require.Equal(t, senderB, a.peer)
	require.Equal(t, senderA, b.peer)
	return a, b, [][]byte{greeting, hello, welcome}
}

func TestFramesOfAnotherConnectionAreRefused(t *testing.T) {
	a, b, _ := establishPair(t)
	first := a.seal([]byte("book"))
	_, content, err := b.accept(first[4:])
	require.NoError(t, err)
	require.Equal(t, "book", string(content))
	_, _, err = b.accept(first[4:])
	require.Equal(t, dropReplayed, err)
	_, _, err = a.accept(first[4:])
	require.Equal(t, dropUnauthenticated, err, "frame sent back to its sender")

	fresh := newAccepted(keyring{testKey}, senderB, bytes.Repeat([]byte{3}, nonceSize))
	_, _, records := establishPair(t)
	_, _, err = fresh.accept(records[1][4:])
	require.Equal(t, dropUnauthenticated, err, "hello replayed from an earlier connection")
}

func TestOnlyUnmodifiedFramesInOrderAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, _ := establishPair(t)
		var sent [][]byte
		for i := range rapid.IntRange(1, 6).Draw(t, "frames") {
			sent = append(sent, a.seal([]byte{byte(i)})[4:])
		}
		for next := 0; next < len(sent); {
			i := rapid.IntRange(0, len(sent)-1).Draw(t, "frame")
			frame := append([]byte(nil), sent[i]...)
			flip := rapid.IntRange(-1, len(frame)-1).Draw(t, "flip")
			if flip >= 0 {
				frame[flip] ^= 1
			}
			_, content, err := b.accept(frame)
			if i != next || flip >= 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []byte{byte(i)}, content)
			next++
		}
	})
}

func TestEachDatagramIsAcceptedOnce(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	rapid.Check(t, func(t *rapid.T) {
		sealer := newDatagramSealer(keyring{testKey}, senderA)
		opener := newDatagramOpener(keyring{testKey}, senderB.address)
		var sent [][]byte
		for i := range rapid.IntRange(1, 200).Draw(t, "datagrams") {
			d, err := sealer.seal(senderB.address, binary.BigEndian.AppendUint64(nil, uint64(i)), start)
			require.NoError(t, err)
			sent = append(sent, d)
		}
		accepted := make(map[int]bool)
		highest := -1
		for range rapid.IntRange(1, 300).Draw(t, "arrivals") {
			i := rapid.IntRange(0, len(sent)-1).Draw(t, "datagram")
			_, _, err := opener.open(senderA.address, sent[i], start)
			require.Equal(t, !accepted[i] && highest-i < replayWindow, err == nil)
			if err == nil {
				accepted[i] = true
				highest = max(highest, i)
			}
		}
	})
}

func TestDatagramsAreRefused(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	seal := func(s Sender, to netip.AddrPort, at time.Time) []byte {
		d, err := newDatagramSealer(keyring{testKey}, s).seal(to, []byte("x"), at)
		require.NoError(t, err)
		return d
	}
	older := senderA
	older.incarnation = 0
	tests := map[string]struct {
		datagram []byte
		reason   dropError
	}{
		"for another receiver":          {seal(senderA, senderA.address, now), dropUnauthenticated},
		"too old":                       {seal(senderA, senderB.address, now.Add(-time.Minute)), dropExpired},
		"from the future":               {seal(senderA, senderB.address, now.Add(time.Minute)), dropExpired},
		"from an earlier incarnation":   {seal(older, senderB.address, now), dropStale},
		"too short":                     {[]byte{datagramVersion}, dropMalformed},
		"too long":                      {make([]byte, maxDatagramSize+1), dropOversized},
		"with another datagram version": {append([]byte{9}, make([]byte, 80)...), dropMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			opener := newDatagramOpener(keyring{testKey}, senderB.address)
			_, _, err := opener.open(senderA.address, seal(senderA, senderB.address, now), now)
			require.NoError(t, err)
			_, _, err = opener.open(senderA.address, tt.datagram, now)
			require.Equal(t, tt.reason, err)
		})
	}
}

func FuzzFrame(f *testing.F) {
	_, _, records := establishPair(f)
	a, _, _ := establishPair(f)
	for _, r := range append(records, a.seal([]byte("x"))) {
		f.Add(r[4:], true)
		f.Add(r[4:], false)
	}
	f.Fuzz(func(t *testing.T, b []byte, early bool) {
		_, s, _ := establishPair(t)
		if early {
			s = newAccepted(keyring{testKey}, senderB, bytes.Repeat([]byte{9}, nonceSize))
		}
		_, content, err := s.accept(b)
		if err == nil {
			require.Equal(t, "x", string(content), "only the sealed frame of the seed corpus is authentic")
		}
		var header callHeader
		_, _ = decodeHeader(b, &header)
	})
}

func FuzzDatagram(f *testing.F) {
	now := time.UnixMilli(1_000_000)
	d, err := newDatagramSealer(keyring{testKey}, senderA).seal(senderB.address, []byte("x"), now)
	require.NoError(f, err)
	f.Add(d)
	f.Add(d[:len(d)-1])
	f.Add(make([]byte, datagramHeaderSize+1+macSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, body, err := newDatagramOpener(keyring{testKey}, senderB.address).open(senderA.address, b, now)
		if err == nil {
			require.Equal(t, "x", string(body), "only the sealed datagram of the seed corpus is authentic")
		}
	})
}
