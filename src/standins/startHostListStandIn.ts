import type { z } from "zod";
import { SystemClock } from "../time/index.js";
import { HostListServer } from "./HostListServer.js";
import type { StandIn } from "./StandIn.js";
import type { standInSettings } from "./standInSettings.js";

/**
 * Starts the stand-in for the platform's list of hosts.
 * @param settings - Its settings.
 */
export async function startHostListStandIn(settings: z.output<typeof standInSettings.hosts>): Promise<StandIn> {
    const server = new HostListServer(new SystemClock(), settings.hosts, settings.lagMs);
    const url = `http://127.0.0.1:${await server.start(settings.port)}`;
    return { report: { kind: "hosts", url, control: `${url}/control` }, stop: () => server.stop() };
}
