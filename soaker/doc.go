// Package soaker is a fault-injection test of the real program. It runs several processes of it
// on one machine, disturbs them and their network links from outside, and checks what callers
// and upstreams saw against the guarantees of the program:
//
//   - a booking runs at most once;
//   - a request that was refused as not run never runs;
//   - an answer is complete and belongs to the caller's own request;
//   - a request is answered whole or refused while all upstreams live, however late its host runs;
//   - a host never goes back to an older configuration;
//   - a revoked key runs nothing;
//   - an upstream that leaves gets no new requests;
//   - an upstream gets no more requests than the limit that it reports;
//   - no upstream sees a caller's key;
//   - requests with a part of prompts that crashes upstreams stop reaching them;
//   - a planned stop breaks no request.
//
// Everything random in a run comes from its seed, so the same seed injects the same faults at the
// same times. The processes run in real time, so which requests a fault hits still varies.
package soaker
