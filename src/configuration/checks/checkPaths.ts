import type { Finding } from "../../errors/index.js";
import type { Route } from "../Route.js";
import type { DocumentItems } from "./DocumentItems.js";
import type { PlacedItem } from "./PlacedItem.js";

/**
 * Finds routes with equal paths, and routes below the path of a route whose section has no owner in common.
 * @param items - The document's items.
 */
export function checkPaths(items: DocumentItems): Finding[] {
    const findings: Finding[] = [];
    const routes = new Map<string, PlacedItem<Route>>();
    for (const route of items.routes) {
        const first = routes.get(route.value.path);
        if (first === undefined) {
            routes.set(route.value.path, route);
            continue;
        }
        findings.push({ place: `${route.place}.path`, message: `is the path of ${first.place} too` });
    }
    for (const route of routes.values()) {
        const outer = findOuterRoute(routes, route);
        if (outer !== undefined && !hasCommonOwner(items, route.section, outer.section)) {
            const message = `takes requests from ${outer.place}, whose section has no owner in common`;
            findings.push({ place: `${route.place}.path`, message });
        }
    }
    return findings;
}

function findOuterRoute(
    routes: ReadonlyMap<string, PlacedItem<Route>>,
    route: PlacedItem<Route>,
): PlacedItem<Route> | undefined {
    let path = route.value.path;
    while (path.includes("/", 1)) {
        path = path.slice(0, path.lastIndexOf("/"));
        const outer = routes.get(path);
        if (outer !== undefined) {
            return outer;
        }
    }
    return undefined;
}

function hasCommonOwner(items: DocumentItems, section: string, other: string): boolean {
    const owners = new Set(items.owners.get(section));
    return items.owners.get(other)?.some(owner => owners.has(owner)) ?? false;
}
