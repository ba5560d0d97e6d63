import { readFileSync } from "node:fs";
import { join } from "node:path";
import type { ConfigurationDocument, Section, Upstream } from "../configuration/index.js";
import { parseDocument } from "../configuration/index.js";
import { FLEET_OPERATOR } from "./FLEET_OPERATOR.js";
import type { FleetOptions } from "./FleetOptions.js";

/**
 * Creates a fleet's document from its example: the fleet's operator owns every section, and upstreams have its ports.
 * @param options - The fleet.
 */
export function createFleetDocument(options: FleetOptions): ConfigurationDocument {
    const { sections } = parseDocument(readFileSync(join(options.example, "configuration.json"), "utf8"));
    let port = options.upstreamPort;
    const createUpstream = (upstream: Upstream): Upstream =>
        port === undefined ? upstream : { ...upstream, address: `127.0.0.1:${port++}` };
    const createSection = (section: Section): Section => ({
        ...section,
        owners: [...section.owners, FLEET_OPERATOR.name],
        ...(section.services === undefined ? {} : {
            services: section.services.map(service => ({
                ...service,
                upstreams: service.upstreams.map(createUpstream),
            })),
        }),
    });
    return {
        sections: Object.fromEntries(Object.entries(sections).map(([name, section]) => [name, createSection(section)])),
    };
}
