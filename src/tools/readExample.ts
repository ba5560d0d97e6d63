import { readFileSync } from "node:fs";
import type { Account, DetectionSettings } from "../configuration/index.js";
import type { Deployment } from "./Deployment.js";

interface ExampleService {
    readonly name: string;
    readonly floor: number;
    readonly queuePerSlot: number;
    readonly detection: DetectionSettings;
    readonly upstreams: readonly { readonly zone: string; readonly slots: number; }[];
}

interface ExampleSection {
    readonly accounts?: readonly Account[];
    readonly services?: readonly ExampleService[];
}

/**
 * Reads one service of an example document as the service host of its first zone sees it.
 * @param name - The example's name.
 * @param serviceName - The service's name.
 * @param rate - Requests a second at that service host.
 */
export function readExample(name: string, serviceName: string, rate: number): Deployment {
    const document = JSON.parse(readFileSync(`examples/${name}/configuration.json`, "utf8")) as {
        readonly sections: Readonly<Record<string, ExampleSection>>;
    };
    const sections = Object.values(document.sections);
    const accounts = sections.flatMap(section => section.accounts ?? []);
    const services = sections.flatMap(section => section.services ?? []);
    const service = services.find(candidate => candidate.name === serviceName)!;
    const zone = service.upstreams[0]!.zone;
    const upstreams = service.upstreams.filter(upstream => upstream.zone === zone);
    const { floor, queuePerSlot, detection } = service;
    const { slots } = upstreams[0]!;
    return { name, upstreams: upstreams.length, slots, floor, queuePerSlot, detection, rate, accounts };
}
