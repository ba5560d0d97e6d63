import { createHash } from "node:crypto";
import type { ConfigurationDocument, Service, Upstream } from "../configuration/index.js";
import { RouteKind } from "../configuration/index.js";
import type { EntrySettings } from "../settings/index.js";
import { ServiceTimeKind, type UpstreamStandInSettings } from "../standins/index.js";
import type { FleetOptions } from "./FleetOptions.js";
import type { FleetPlan } from "./FleetPlan.js";
import { getOperatorToken } from "./getOperatorToken.js";

const HOST_LIST_OFFSET = 1;
const CONTROL_OFFSET = 2;
const CALLER_OFFSET = 100;
const PEER_OFFSET = 200;
const OPERATOR_OFFSET = 300;
const UPSTREAM_OFFSET = 400;
const SERVICE_TIME_SIGMA = 0.4;
const COLD_START_MS = 4_000;
const COLD_START_FACTOR = 5;
const CRASH_DOWN_MS = 2_000;
const LARGE_BYTES = 1_048_576;
const LOOKUP_LIFETIME_MS = 5_000;
const HOST_LIST_LAG_MS = 3_000;
const STOP_TIMEOUT_MS = 10_000;
const MEDIAN_MS: Readonly<Record<RouteKind, number>> = {
    [RouteKind.Lookup]: 15,
    [RouteKind.Order]: 25,
    [RouteKind.Bulk]: 40,
};

/**
 * Creates the plan of a fleet on loopback.
 * @param options - What it is made of.
 */
export function createFleetPlan(options: FleetOptions): FleetPlan {
    const document = createLocalDocument(options);
    const services = getServices(document);
    return {
        document,
        storePort: options.firstPort,
        hostListPort: options.firstPort + HOST_LIST_OFFSET,
        controlPort: options.firstPort + CONTROL_OFFSET,
        upstreams: services.flatMap((service, index) =>
            service.upstreams.map(upstream => createUpstream(options, upstream, getKind(document, service), index))
        ),
        entries: createEntries(options, services, document),
    };
}

function createLocalDocument(options: FleetOptions): ConfigurationDocument {
    let port = options.firstPort + UPSTREAM_OFFSET;
    const createLocalUpstream = (upstream: Upstream): Upstream => ({ ...upstream, address: `127.0.0.1:${port++}` });
    const sections = Object.entries(options.document.sections).map(([name, section]) => {
        const services = section.services?.map(service => ({
            ...service,
            upstreams: service.upstreams.map(createLocalUpstream),
        }));
        return [name, services === undefined ? section : { ...section, services }];
    });
    return { sections: Object.fromEntries(sections) };
}

function getServices(document: ConfigurationDocument): Service[] {
    return Object.values(document.sections).flatMap(section => section.services ?? []);
}

function getKind(document: ConfigurationDocument, service: Service): RouteKind {
    const routes = Object.values(document.sections).flatMap(section => section.routes ?? []);
    return routes.find(route => route.service === service.name)?.kind ?? RouteKind.Lookup;
}

function createUpstream(
    options: FleetOptions,
    upstream: Upstream,
    kind: RouteKind,
    serviceIndex: number,
): Partial<UpstreamStandInSettings> {
    const port = getPort(upstream.address);
    return {
        name: upstream.name,
        port,
        slots: upstream.slots,
        connections: upstream.connections,
        serviceTime: { kind: ServiceTimeKind.LogNormal, medianMs: MEDIAN_MS[kind], sigma: SERVICE_TIME_SIGMA },
        coldStartMs: COLD_START_MS,
        coldStartFactor: COLD_START_FACTOR,
        crashDownMs: CRASH_DOWN_MS,
        largeBytes: LARGE_BYTES,
        seed: options.seed * port + serviceIndex,
    };
}

function createEntries(
    options: FleetOptions,
    services: readonly Service[],
    document: ConfigurationDocument,
): EntrySettings[] {
    const zones = [...new Set(services.flatMap(service => service.upstreams.map(upstream => upstream.zone)))];
    const count = zones.length * options.hostsPerZone;
    const operators = [...new Set(Object.values(document.sections).flatMap(section => section.owners))].map(name => ({
        name,
        tokenHash: createHash("sha256").update(getOperatorToken(name)).digest("base64url"),
    }));
    const getAddress = (offset: number, index: number): string => `127.0.0.1:${options.firstPort + offset + index}`;
    return Array.from({ length: count }, (_, index) => ({
        id: `entry-${index + 1}`,
        region: "region-1",
        zone: zones[index % zones.length]!,
        callerAddress: getAddress(CALLER_OFFSET, index),
        peerAddress: getAddress(PEER_OFFSET, index),
        operatorAddress: getAddress(OPERATOR_OFFSET, index),
        storeAddress: getAddress(0, 0),
        hostListAddress: getAddress(HOST_LIST_OFFSET, 0),
        seedPeers: [0, 1, 2].filter(peer => peer < count && peer !== index).map(peer => getAddress(PEER_OFFSET, peer)),
        peerSecret: "measure-peer-secret-of-one-fleet",
        operators,
        policy: options.policy,
        lookupLifetimeMs: LOOKUP_LIFETIME_MS,
        hostListLagMs: HOST_LIST_LAG_MS,
        stopTimeoutMs: STOP_TIMEOUT_MS,
        logLevel: "info",
    }));
}

function getPort(address: string): number {
    return Number(address.slice(address.lastIndexOf(":") + 1));
}
