import { createMachine, state, transition } from "robot3";
import type { Machine } from "robot3";
import { UpstreamEvent as Event } from "./UpstreamEvent.js";
import { UpstreamState as State } from "./UpstreamState.js";

const drain = transition(Event.Drain, State.Draining);
const eject = transition(Event.Eject, State.Ejected);
const withholdEjection = transition(Event.WithholdEjection, State.EjectionWithheld);
const clear = transition(Event.Clear, State.Healthy);
const restart = transition(Event.Restart, State.Ramping);
const restore = transition(Event.Restore, State.Ramping);

const states = {
    [State.Healthy]: state(transition(Event.Suspect, State.Suspected), withholdEjection, eject, restart, drain),
    [State.Suspected]: state(clear, withholdEjection, eject, restart, drain),
    [State.EjectionWithheld]: state(clear, eject, drain),
    [State.Ejected]: state(transition(Event.StartProbation, State.Probation), restore, clear, drain),
    [State.Probation]: state(eject, restore, clear, drain),
    [State.Ramping]: state(transition(Event.EndRamp, State.Healthy), withholdEjection, eject, drain),
    [State.Draining]: state(transition(Event.CancelDrain, State.Ramping)),
};

/**
 * Creates the state machine of an upstream; all share the transition table.
 * @param initial - The initial state.
 */
export function createUpstreamMachine(initial: State): Machine {
    return createMachine(initial, states) as unknown as Machine;
}
