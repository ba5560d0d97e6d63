import { isDeepStrictEqual } from "node:util";
import type { ConfigurationDocument, Section } from "../../configuration/index.js";
import type { DocumentDifference } from "./DocumentDifference.js";

/**
 * Finds the differences between two documents, item by item.
 * @param before - The current document.
 * @param after - The new document.
 */
export function compareDocuments(before: ConfigurationDocument, after: ConfigurationDocument): DocumentDifference[] {
    return compareItems("sections", createMap(before.sections), createMap(after.sections), compareSections);
}

function compareSections(place: string, before: Section, after: Section): DocumentDifference[] {
    const hasSameOwners = isDeepStrictEqual([...before.owners].sort(), [...after.owners].sort());
    const lists = (["accounts", "keys", "routes", "services"] as const).flatMap(kind =>
        compareItems(`${place}.${kind}`, createItemMap(before[kind]), createItemMap(after[kind]))
    );
    return hasSameOwners ? lists : [{ place: `${place}.owners`, kind: "changed" }, ...lists];
}

function compareItems<T>(
    place: string,
    before: ReadonlyMap<string, T>,
    after: ReadonlyMap<string, T>,
    compareContents?: (place: string, before: T, after: T) => DocumentDifference[],
): DocumentDifference[] {
    const differences: DocumentDifference[] = [];
    for (const name of [...new Set([...before.keys(), ...after.keys()])].sort()) {
        const itemPlace = `${place}.${name}`;
        const [old, current] = [before.get(name), after.get(name)];
        if (old === undefined || current === undefined) {
            differences.push({ place: itemPlace, kind: old === undefined ? "added" : "removed" });
        }
        else if (compareContents !== undefined) {
            differences.push(...compareContents(itemPlace, old, current));
        }
        else if (!isDeepStrictEqual(old, current)) {
            differences.push({ place: itemPlace, kind: "changed" });
        }
    }
    return differences;
}

function createMap<T>(record: Readonly<Record<string, T>>): ReadonlyMap<string, T> {
    return new Map(Object.entries(record));
}

function createItemMap(items: readonly object[] = []): ReadonlyMap<string, object> {
    return new Map(items.map(item => {
        const { id, name } = item as { id?: string; name?: string; };
        return [id ?? name ?? "", createComparable(item)];
    }));
}

/** Indexes a service's upstreams by name, because their order is not significant. */
function createComparable(item: object): object {
    const { upstreams } = item as { upstreams?: readonly { name: string; }[]; };
    return upstreams === undefined ? item : { ...item, upstreams: Object.fromEntries(createItemMap(upstreams)) };
}
