package org.cyclamenstall.settings;

import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/**
 * Settings of the platform's services. Immutable.
 *
 * @param store the settings of the key-value service
 * @param hostList the settings of the host list
 */
public record PlatformSettings(@NotNull @Valid StoreSettings store, @NotNull @Valid HostListSettings hostList) {

}
