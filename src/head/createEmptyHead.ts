import type { Head } from "./Head.js";

/** Creates the head before the first change. */
export function createEmptyHead(): Head {
    return { version: 0, sections: {}, view: { version: 0, members: [] }, changes: [] };
}
