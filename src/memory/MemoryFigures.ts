import type { MemoryAction } from "./MemoryAction.js";
import type { MemoryKind } from "./MemoryKind.js";

/** What a kind holds, and how often an action was taken. */
export interface MemoryFigures {
    readonly kind: MemoryKind;
    readonly heldBytes: number;
    readonly actions: ReadonlyMap<MemoryAction, number>;
}
