import { getMixedHash, getTextHash } from "../utils/index.js";
import { getPartKey } from "./getPartKey.js";
import type { Service } from "./Service.js";
import type { ServicePart } from "./ServicePart.js";
import type { Upstream } from "./Upstream.js";

/**
 * A zone with more upstreams is divided. Each part has a host, which a small one can carry: ten upstreams of the users' services
 * run some forty requests a second.
 */
const MAX_PART_UPSTREAMS = 10;

const partsOfServices = new WeakMap<Service, readonly ServicePart[]>();

/**
 * Gets the parts into which a service is divided. An upstream that comes or goes moves no other one, unless the number of
 * parts changes; then only those move that enter or leave the last part.
 * @param service - The service.
 */
export function getServiceParts(service: Service): readonly ServicePart[] {
    let parts = partsOfServices.get(service);
    if (parts === undefined) {
        const zones = [...new Set(service.upstreams.map(upstream => upstream.zone))];
        parts = zones.flatMap(zone => createParts(zone, service.upstreams.filter(upstream => upstream.zone === zone)));
        partsOfServices.set(service, parts);
    }
    return parts;
}

function createParts(zone: string, upstreams: readonly Upstream[]): ServicePart[] {
    const count = Math.ceil(upstreams.length / MAX_PART_UPSTREAMS);
    const groups = Array.from({ length: count }, (): Upstream[] => []);
    upstreams.forEach(upstream => groups[getIndex(upstream, count)]!.push(upstream));
    return groups.map((members, index) => createPart(zone, index, members))
        .filter(part => part.upstreams.length > 0);
}

function createPart(zone: string, index: number, upstreams: readonly Upstream[]): ServicePart {
    const slots = upstreams.reduce((sum, { slots, draining }) => sum + (draining === true ? 0 : slots), 0);
    return { key: getPartKey(zone, index), zone, index, upstreams, slots };
}

/** Gets the part in which an upstream has its greatest hash, so that a further part takes its share from each of the others. */
function getIndex({ name }: Upstream, count: number): number {
    const hash = getTextHash(name);
    let best = 0;
    let bestHash = -1;
    for (let index = 0; index < count; index++) {
        const partHash = getMixedHash(hash ^ getMixedHash(index + 1));
        if (partHash > bestHash) {
            best = index;
            bestHash = partHash;
        }
    }
    return best;
}
