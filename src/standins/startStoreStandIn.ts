import type { z } from "zod";
import { SystemClock } from "../time/index.js";
import type { StandIn } from "./StandIn.js";
import type { standInSettings } from "./standInSettings.js";
import { StoreServer } from "./StoreServer.js";

/**
 * Starts the stand-in for the platform's store.
 * @param settings - Its settings.
 */
export async function startStoreStandIn(settings: z.output<typeof standInSettings.store>): Promise<StandIn> {
    const server = new StoreServer(new SystemClock());
    server.applyFaults(settings.faults);
    const url = `http://127.0.0.1:${await server.start(settings.port)}`;
    return { report: { kind: "store", url, control: `${url}/control` }, stop: () => server.stop() };
}
