import { readFileSync } from "node:fs";
import { parseDocument } from "../configuration/index.js";
import type { MeasuredService } from "./MeasuredService.js";

/**
 * Reads one service of an example document as the service host of its first zone sees it.
 * @param name - The example's name.
 * @param serviceName - The service's name.
 * @param rate - Requests a second at that service host.
 */
export function readMeasuredService(name: string, serviceName: string, rate: number): MeasuredService {
    const document = parseDocument(readFileSync(`examples/${name}/configuration.json`, "utf8"));
    const sections = Object.values(document.sections);
    const accounts = sections.flatMap(section => section.accounts ?? []);
    const services = sections.flatMap(section => section.services ?? []);
    const service = services.find(candidate => candidate.name === serviceName)!;
    const { floor, queuePerSlot, detection } = service;
    const { zone, slots } = service.upstreams[0]!;
    const upstreams = service.upstreams.filter(upstream => upstream.zone === zone).length;
    return { name, upstreams, slots, floor, queuePerSlot, detection, rate, accounts };
}
