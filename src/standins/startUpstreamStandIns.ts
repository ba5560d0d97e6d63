import type { z } from "zod";
import { SystemClock } from "../time/index.js";
import type { StandIn } from "./StandIn.js";
import type { standInSettings } from "./standInSettings.js";
import { UpstreamControl } from "./UpstreamControl.js";
import { UpstreamStandIn } from "./UpstreamStandIn.js";

/**
 * Starts stand-ins for upstreams with their control endpoint.
 * @param settings - Their settings.
 */
export async function startUpstreamStandIns(settings: z.output<typeof standInSettings.upstream>): Promise<StandIn> {
    const clock = new SystemClock();
    const upstreams = settings.upstreams.map(upstream => new UpstreamStandIn(upstream, clock));
    const control = new UpstreamControl(upstreams);
    const ports = await Promise.all(upstreams.map(upstream => upstream.start()));
    const controlPort = await control.start(settings.controlPort);
    const addresses = upstreams.map((upstream, index) => ({
        name: upstream.getName(),
        address: `127.0.0.1:${ports[index]}`,
    }));
    return {
        report: { kind: "upstream", control: `http://127.0.0.1:${controlPort}/control`, upstreams: addresses },
        stop: async () => {
            await Promise.all([control.stop(), ...upstreams.map(upstream => upstream.stop())]);
        },
    };
}
