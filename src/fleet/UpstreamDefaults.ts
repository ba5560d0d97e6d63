/** Settings that all upstream stand-ins of a test fleet share; see the settings of fuchsiapath-standin. */
export interface UpstreamDefaults {
    readonly serviceTime: { readonly kind: string; readonly ms: number; };
    readonly largeBytes: number;
}
