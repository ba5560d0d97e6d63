import type { MemoryKind } from "./MemoryKind.js";

/** The kinds of bodies. */
export type BodyKind = MemoryKind.Body | MemoryKind.ForwardedBody;
