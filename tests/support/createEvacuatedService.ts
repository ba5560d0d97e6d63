import type { Service } from "../../src/configuration/index.js";

/**
 * Creates the state of a service while a zone is evacuated.
 * @param service - The service before.
 * @param zone - The zone.
 */
export function createEvacuatedService(service: Service, zone: string): Service {
    const upstreams = service.upstreams.map(upstream =>
        upstream.zone === zone ? { ...upstream, draining: true, isEvacuated: true } : upstream
    );
    return { ...service, upstreams };
}
