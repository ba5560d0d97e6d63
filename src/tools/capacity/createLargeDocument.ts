import {
    type Account,
    type AccountKey,
    type ConfigurationDocument,
    createKey,
    type Route,
    RouteAccess,
    RouteKind,
    type Section,
    type Service,
} from "../../configuration/index.js";
import type { DocumentSize } from "./DocumentSize.js";

const SERVICES_PER_SECTION = 10;
const FIRST_PORT = 1_024;
const PORTS_PER_IP = 60_000;
const ZONES = 7;

/**
 * Creates a document of a given size: one section of accounts with a key each, and sections of ten services.
 * @param size - How many items it has.
 * @param owner - The owner of all sections.
 */
export function createLargeDocument(size: DocumentSize, owner: string): ConfigurationDocument {
    const accounts = createList(size.accounts, createAccount);
    const keys = createList(size.accounts, createAccountKey);
    const sections: Record<string, Section> = { accounts: { owners: [owner], accounts, keys } };
    const services = createList(size.services, index => createService(index, size));
    const routes = createList(size.routes, index => createRoute(index, size.services));
    for (let start = 0; start < services.length; start += SERVICES_PER_SECTION) {
        const members = services.slice(start, start + SERVICES_PER_SECTION);
        const names = new Set(members.map(service => service.name));
        const ownRoutes = routes.filter(route => names.has(route.service));
        sections[`team-${start / SERVICES_PER_SECTION}`] = { owners: [owner], services: members, routes: ownRoutes };
    }
    return { sections };
}

function createList<T>(count: number, createItem: (index: number) => T): T[] {
    return Array.from({ length: count }, (_, index) => createItem(index));
}

function createAccount(index: number): Account {
    return { name: `account-${index}`, rate: 1 + index % 50, burst: 10 + index % 100 };
}

function createAccountKey(index: number): AccountKey {
    return createKey(`account-${index}`).record;
}

function createService(index: number, size: DocumentSize): Service {
    const count = Math.floor(size.upstreams / size.services) + (index < size.upstreams % size.services ? 1 : 0);
    const upstreams = createList(count, place => createUpstream(index, place, index + place * size.services));
    return {
        name: `service-${index}`,
        upstreams,
        floor: 0.5,
        retryBudget: 0.1,
        queuePerSlot: 8,
        detection: {
            healthyErrorRate: 0.01,
            failingErrorRate: 0.4,
            ejectThreshold: 5,
            slowFactor: 4,
            probationMs: 2_000,
        },
    };
}

function createUpstream(service: number, place: number, number: number): Service["upstreams"][number] {
    const ip = `10.0.0.${1 + Math.floor(number / PORTS_PER_IP)}`;
    return {
        name: `service-${service}-${place}`,
        address: `${ip}:${FIRST_PORT + number % PORTS_PER_IP}`,
        zone: `zone-${place % ZONES}`,
        slots: 6,
        connections: 330,
    };
}

function createRoute(index: number, services: number): Route {
    return {
        name: `route-${index}`,
        path: `/service-${index % services}/route-${index}`,
        methods: ["GET"],
        service: `service-${index % services}`,
        kind: RouteKind.Lookup,
        access: RouteAccess.Accounts,
        deadlineMs: 2_000,
        maxBodyBytes: 0,
    };
}
