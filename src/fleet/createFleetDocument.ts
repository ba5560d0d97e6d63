import type { ConfigurationDocument, Section, Service } from "../configuration/index.js";
import { FLEET_OPERATOR } from "./FLEET_OPERATOR.js";

const UPSTREAM_OFFSET = 400;

/**
 * Creates a test fleet's document from an example: the fleet's operator owns all sections, and the upstreams stand on
 * the fleet's own ports, so that several fleets can run side by side.
 * @param document - The example's document.
 * @param basePort - The fleet's first port.
 */
export function createFleetDocument(document: ConfigurationDocument, basePort: number): ConfigurationDocument {
    let nextPort = basePort + UPSTREAM_OFFSET;
    const createService = (service: Service): Service => ({
        ...service,
        upstreams: service.upstreams.map(upstream => ({ ...upstream, address: `127.0.0.1:${nextPort++}` })),
    });
    const createSection = (section: Section): Section => ({
        ...section,
        owners: [...section.owners, FLEET_OPERATOR.name],
        ...section.services === undefined ? {} : { services: section.services.map(createService) },
    });
    const sections = Object.entries(document.sections).map(([name, section]) => [name, createSection(section)]);
    return { sections: Object.fromEntries(sections) };
}
