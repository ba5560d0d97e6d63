import type { Service, Upstream } from "../../configuration/index.js";

/** Share of cold upstreams from which the requests of a part would wait for long. */
const WARMING_SHARE = 0.5;

/**
 * Whether so many upstreams of a part are cold that it can take few requests.
 * @param service - The service.
 * @param upstreams - The upstreams of the part.
 * @param time - The time, in milliseconds of the clock.
 */
export function isWarming({ coldRate }: Service, upstreams: readonly Upstream[], time: number): boolean {
    const used = upstreams.filter(upstream => upstream.draining !== true);
    const cold = used.filter(({ warmTime }) => warmTime !== undefined && warmTime > time).length;
    return coldRate !== undefined && cold > 0 && cold >= WARMING_SHARE * used.length;
}
