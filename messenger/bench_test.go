package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
)

// BenchmarkPack measures encoding and decoding of a compressed heartbeat frame.
func BenchmarkPack(b *testing.B) {
	heartbeat := json.RawMessage(`{"id":654321,"jsonrpc":"2.0","meta":{"f":"gyor-11","ms":1000},"method":"membership.heartbeat","params":{"b":[7,1234567,4014321234]}}`)
	var frame []byte
	b.ReportAllocs()
	for b.Loop() {
		frame, _ = appendFrame(frame[:0], heartbeat, MaxFrameSize, true)
		if _, err := readFrame(bytes.NewReader(frame), MaxFrameSize); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(frame)), "bytes/frame")
}

// BenchmarkCall measures calls over loopback, client and server together.
func BenchmarkCall(b *testing.B) {
	for name, call := range map[string]func(context.Context, *Pool, string, Method, testMessage) (testMessage, error){
		"normal": Call[testMessage, testMessage], "control": CallControl[testMessage, testMessage],
	} {
		b.Run(name, func(b *testing.B) {
			address, _ := startServer(b, &Server{})
			p := newPool(b, &Pool{})
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := call(context.Background(), p, address, methodEcho, testMessage{"hello"}); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
