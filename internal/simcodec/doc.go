// Package simcodec decodes the events of the simulator's protocol into the decision module's types and encodes its actions.
// The platform's protocol names the settings in the same way, so it translates these too. It decides nothing.
package simcodec
