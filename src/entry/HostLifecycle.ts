import { createMachine, interpret, state, transition } from "robot3";
import type { HostState } from "./HostState.js";

const machine = createMachine("starting", {
    starting: state(transition("serve", "serving"), transition("stop", "stopping")),
    serving: state(transition("stop", "stopping")),
    stopping: state(transition("finish", "stopped")),
    stopped: state(),
});

/** The lifecycle state machine of an entry host. */
export class HostLifecycle {
    readonly #service = interpret(machine, () => {});

    /** Gets the host's current state. */
    getState(): HostState {
        return this.#service.machine.current as HostState;
    }

    /**
     * Applies an event; events that are not valid in the current state are ignored.
     * @param event - The event.
     */
    send(event: "serve" | "stop" | "finish"): void {
        this.#service.send(event);
    }
}
