import type { Finding } from "../../errors/index.js";
import type { DocumentItems } from "./DocumentItems.js";

/**
 * Finds upstreams in unknown availability zones.
 * @param items - The document's items.
 * @param zones - The known zones.
 */
export function checkZones(items: DocumentItems, zones: readonly string[]): Finding[] {
    const findings: Finding[] = [];
    for (const { place, value: service } of items.services) {
        for (const [index, upstream] of service.upstreams.entries()) {
            if (!zones.includes(upstream.zone)) {
                const message = `"${upstream.zone}" is none of the zones ${zones.join(", ")}`;
                findings.push({ place: `${place}.upstreams[${index}].zone`, message });
            }
        }
    }
    return findings;
}
