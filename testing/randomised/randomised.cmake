# Randomised runs of traffic cores with fakes of callers and upstreams.
add_library(sassafrasknot_randomised STATIC
  ${CMAKE_CURRENT_LIST_DIR}/caller.cpp
  ${CMAKE_CURRENT_LIST_DIR}/faults.cpp
  ${CMAKE_CURRENT_LIST_DIR}/upstream.cpp
  ${CMAKE_CURRENT_LIST_DIR}/world.cpp)
target_include_directories(sassafrasknot_randomised PUBLIC ${CMAKE_CURRENT_LIST_DIR})
target_compile_options(sassafrasknot_randomised PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot_randomised PUBLIC sassafrasknot_coordination)

add_executable(randomised ${CMAKE_CURRENT_LIST_DIR}/main.cpp)
target_compile_options(randomised PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(randomised PRIVATE sassafrasknot_randomised PkgConfig::POPT)
