import type { MemoryKind } from "./MemoryKind.js";

/** How much memory each kind may hold, in bytes. */
export type MemoryLimits = Readonly<Record<MemoryKind, number>>;
