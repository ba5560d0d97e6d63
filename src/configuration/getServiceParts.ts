import { getMixedHash, getTextHash } from "../utils/index.js";
import { getPartKey } from "./getPartKey.js";
import type { Service } from "./Service.js";
import type { ServicePart } from "./ServicePart.js";
import type { Upstream } from "./Upstream.js";

/**
 * A zone with more upstreams is split into several parts. One host handles each part. Ten upstreams of the users' services
 * together run about 40 requests per second, which a small host can handle.
 */
const MAX_PART_UPSTREAMS = 10;

const partsByService = new WeakMap<Service, readonly ServicePart[]>();

/**
 * Gets the parts of a service. Adding or removing an upstream moves no other one, unless the number of parts changes; then
 * upstreams move only into or out of the last part (rendezvous hashing).
 * @param service - The service.
 */
export function getServiceParts(service: Service): readonly ServicePart[] {
    let parts = partsByService.get(service);
    if (parts === undefined) {
        const zones = [...new Set(service.upstreams.map(upstream => upstream.zone))];
        parts = zones.flatMap(zone => createParts(zone, service.upstreams.filter(upstream => upstream.zone === zone)));
        partsByService.set(service, parts);
    }
    return parts;
}

function createParts(zone: string, upstreams: readonly Upstream[]): ServicePart[] {
    const count = Math.ceil(upstreams.length / MAX_PART_UPSTREAMS);
    const upstreamsByPart = Array.from({ length: count }, (): Upstream[] => []);
    upstreams.forEach(upstream => upstreamsByPart[getPartIndex(upstream, count)]!.push(upstream));
    return upstreamsByPart.map((partUpstreams, index) => createPart(zone, index, partUpstreams))
        .filter(part => part.upstreams.length > 0);
}

function createPart(zone: string, index: number, upstreams: readonly Upstream[]): ServicePart {
    const slots = upstreams.reduce((sum, { slots, draining }) => sum + (draining === true ? 0 : slots), 0);
    return { key: getPartKey(zone, index), zone, index, upstreams, slots };
}

/** Gets the part with the highest hash for an upstream, so that a new part takes an equal share from each existing one. */
function getPartIndex({ name }: Upstream, count: number): number {
    const hash = getTextHash(name);
    let bestIndex = 0;
    let bestHash = -1;
    for (let index = 0; index < count; index++) {
        const partHash = getMixedHash(hash ^ getMixedHash(index + 1));
        if (partHash > bestHash) {
            bestIndex = index;
            bestHash = partHash;
        }
    }
    return bestIndex;
}
