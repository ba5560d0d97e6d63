import type { z } from "zod";
import type { gatewaySettingsSchema } from "./gatewaySettingsSchema.js";

/** The settings of a gateway. */
export type GatewaySettings = Readonly<z.output<typeof gatewaySettingsSchema>>;
