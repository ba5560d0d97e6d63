import type { Finding } from "../../errors/index.js";
import type { DocumentItems } from "./DocumentItems.js";

/**
 * Finds references to accounts and services that don't exist.
 * @param items - The document's items.
 */
export function checkReferences(items: DocumentItems): Finding[] {
    const findings: Finding[] = [];
    const accounts = new Set(items.accounts.map(item => item.value.name));
    const services = new Set(items.services.map(item => item.value.name));
    const checkName = (names: Set<string>, name: string, place: string, kind: string): void => {
        if (!names.has(name) && !items.malformedNames.has(name)) {
            findings.push({ place, message: `there is no ${kind} "${name}"` });
        }
    };
    for (const { place, value: key } of items.keys) {
        checkName(accounts, key.account, `${place}.account`, "account");
    }
    for (const { place, value: route } of items.routes) {
        checkName(services, route.service, `${place}.service`, "service");
        route.accounts?.forEach((name, index) => checkName(accounts, name, `${place}.accounts[${index}]`, "account"));
    }
    return findings;
}
