import type { MemoryAction } from "./MemoryAction.js";
import type { MemoryFigures } from "./MemoryFigures.js";
import { MemoryKind } from "./MemoryKind.js";
import type { MemoryLimits } from "./MemoryLimits.js";

/** Counts the memory that callers' requests hold in this process, by kind. */
export class MemoryBudget {
    readonly #limits: MemoryLimits;
    readonly #held = new Map<MemoryKind, number>();
    readonly #actions = new Map<MemoryKind, Map<MemoryAction, number>>();

    /** @param limits - How much each kind may hold. */
    constructor(limits: MemoryLimits) {
        this.#limits = limits;
    }

    /**
     * Gets how much a kind may hold, in bytes.
     * @param kind - The kind.
     */
    getLimit(kind: MemoryKind): number {
        return this.#limits[kind];
    }

    /**
     * Gets how much a kind holds, in bytes.
     * @param kind - The kind.
     */
    getHeld(kind: MemoryKind): number {
        return this.#held.get(kind) ?? 0;
    }

    /**
     * Whether a kind may hold more. What exceeds the limit by itself has room while nothing else is held, so that each single request
     * can be served.
     * @param kind - The kind.
     * @param bytes - How much more, in bytes.
     * @param share - Share of the kind's limit that may be used.
     */
    hasRoom(kind: MemoryKind, bytes: number, share = 1): boolean {
        const held = this.getHeld(kind);
        return held === 0 || held + bytes <= this.getLimit(kind) * share;
    }

    /**
     * Counts memory as held, also beyond the limit.
     * @param kind - The kind.
     * @param bytes - How much, in bytes.
     */
    claim(kind: MemoryKind, bytes: number): void {
        this.#held.set(kind, this.getHeld(kind) + bytes);
    }

    /**
     * Counts memory as no longer held.
     * @param kind - The kind.
     * @param bytes - How much, in bytes.
     */
    release(kind: MemoryKind, bytes: number): void {
        this.#held.set(kind, this.getHeld(kind) - bytes);
    }

    /**
     * Records an action that was taken as memory was short.
     * @param kind - The kind.
     * @param action - The action.
     */
    record(kind: MemoryKind, action: MemoryAction): void {
        const actions = this.#actions.get(kind) ?? new Map<MemoryAction, number>();
        actions.set(action, (actions.get(action) ?? 0) + 1);
        this.#actions.set(kind, actions);
    }

    /** Gets the figures of each kind. */
    getFigures(): readonly MemoryFigures[] {
        return Object.values(MemoryKind).map(kind => ({
            kind,
            heldBytes: this.getHeld(kind),
            actions: this.#actions.get(kind) ?? new Map<MemoryAction, number>(),
        }));
    }
}
