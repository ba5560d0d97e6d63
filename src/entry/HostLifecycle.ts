import { createMachine, interpret, state, transition } from "robot3";
import type { HostState } from "./HostState.js";

const machine = createMachine("starting", {
    starting: state(transition("serve", "serving"), transition("stop", "stopping")),
    serving: state(transition("stop", "stopping")),
    stopping: state(transition("finish", "stopped")),
    stopped: state(),
});

/** The lifecycle of an entry host. */
export class HostLifecycle {
    readonly #service = interpret(machine, () => {});

    /** Gets the state that the host is in. */
    getState(): HostState {
        return this.#service.machine.current as HostState;
    }

    /**
     * Moves the host on; an event that its state doesn't take is passed over.
     * @param event - What has happened.
     */
    send(event: "serve" | "stop" | "finish"): void {
        this.#service.send(event);
    }
}
