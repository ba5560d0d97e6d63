import type { Finding } from "../../errors/index.js";
import type { DocumentItems } from "./DocumentItems.js";

/**
 * Finds names and addresses that are used twice, within a section or across sections.
 * @param items - The document's items.
 */
export function checkUniqueness(items: DocumentItems): Finding[] {
    const findings: Finding[] = [];
    const accounts = new Map<string, string>();
    const keys = new Map<string, string>();
    const routes = new Map<string, string>();
    const services = new Map<string, string>();
    const upstreams = new Map<string, string>();
    const addresses = new Map<string, string>();
    items.accounts.forEach(item => addOnce(accounts, item.value.name, `${item.place}.name`, findings));
    items.keys.forEach(item => addOnce(keys, item.value.id, `${item.place}.id`, findings));
    items.routes.forEach(item => addOnce(routes, item.value.name, `${item.place}.name`, findings));
    for (const service of items.services) {
        addOnce(services, service.value.name, `${service.place}.name`, findings);
        for (const [index, upstream] of service.value.upstreams.entries()) {
            const place = `${service.place}.upstreams[${index}]`;
            addOnce(upstreams, upstream.name, `${place}.name`, findings);
            addOnce(addresses, upstream.address, `${place}.address`, findings);
        }
    }
    return findings;
}

function addOnce(places: Map<string, string>, value: string, place: string, findings: Finding[]): void {
    const first = places.get(value);
    if (first === undefined) {
        places.set(value, place);
        return;
    }
    findings.push({ place, message: `"${value}" is already used at ${first}` });
}
