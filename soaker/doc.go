// Package soaker runs the real program as several processes on one machine,
// harms them and their links from outside, and checks what callers and upstreams
// see against what is promised: no booking runs twice, what was refused as not
// run never runs, answers are whole and the caller's own, a configuration never
// goes back, a key that was taken away runs nothing, an upstream that leaves gets
// nothing, and a planned stop cuts nothing off.
//
// A run is drawn from its seed: the same seed draws the same faults at the same
// times. The processes run in real time, so what meets which request differs.
package soaker
