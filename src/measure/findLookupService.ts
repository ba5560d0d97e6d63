import { RouteKind, type Service } from "../configuration/index.js";
import { FuchsiapathError } from "../errors/index.js";
import type { Deployment } from "./Deployment.js";

/**
 * Finds the service to which most lookup routes of a deployment lead.
 * @param deployment - The deployment.
 */
export function findLookupService(deployment: Deployment): Service {
    const sections = Object.values(deployment.document.sections);
    const names = sections.flatMap(section => section.routes ?? []).filter(route => route.kind === RouteKind.Lookup)
        .map(route => route.service);
    const getRouteCount = (name: string): number => names.filter(other => other === name).length;
    const busiest = names.reduce((best, name) => getRouteCount(name) > getRouteCount(best) ? name : best, names[0]!);
    const service = sections.flatMap(section => section.services ?? []).find(candidate => candidate.name === busiest);
    if (service === undefined) {
        throw new FuchsiapathError(`${deployment.name} has no service for lookups.`);
    }
    return service;
}
